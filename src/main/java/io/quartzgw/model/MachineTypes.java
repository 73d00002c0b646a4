package io.quartzgw.model;

import java.util.Collection;
import java.util.Optional;

/** Read-only view of the machine types that the cloud offers, as last read by this controller. */
public interface MachineTypes {

    /** Whether at least one machine type is known. Until then, no job can be checked against the machine types. */
    boolean isKnown();

    /** All known machine types, in the order in which the cloud lists them. */
    Collection<MachineType> all();

    /** The machine type with this name, if the cloud offers one. */
    Optional<MachineType> find(String name);
}
