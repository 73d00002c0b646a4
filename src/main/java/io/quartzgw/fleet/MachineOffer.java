package io.quartzgw.fleet;

import io.quartzgw.model.MachineType;

/** A kind of machine that can be rented: type, zone, and spot or ordinary. */
public record MachineOffer(MachineType type, String zone, boolean spot) {

    @Override
    public String toString() {
        return type.name() + (spot ? " spot in " : " in ") + zone;
    }

    @Override
    public boolean equals(Object other) {
        // Prices move: the same kind of machine at another price is the same offer.
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
