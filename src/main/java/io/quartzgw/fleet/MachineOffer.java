package io.quartzgw.fleet;

import io.quartzgw.model.MachineType;

/** An offer of the cloud: a machine type in a zone, as a spot or on-demand machine. */
public record MachineOffer(MachineType type, String zone, boolean spot) {

    @Override
    public String toString() {
        return type.name() + (spot ? " spot in " : " in ") + zone;
    }

    @Override
    public boolean equals(Object other) {
        // Prices change, so the same machine type at another price is the same offer.
        return other instanceof MachineOffer offer
                && type.name().equals(offer.type.name())
                && zone.equals(offer.zone)
                && spot == offer.spot;
    }

    @Override
    public int hashCode() {
        return type.name().hashCode() * 31 + zone.hashCode() * 2 + (spot ? 1 : 0);
    }
}
