package io.quartzgw.model;

import java.util.Collection;
import java.util.Optional;

/** Read-only view of the machine types that the cloud offers, as this controller knows them. */
public interface MachineTypes {

    /** Whether at least one machine type is known; before that, nothing can be said about any job. */
    boolean isKnown();

    /** All known machine types, in the order in which the cloud lists them. */
    Collection<MachineType> all();

    /** The machine type with this name, if the cloud offers one. */
    Optional<MachineType> find(String name);
}
