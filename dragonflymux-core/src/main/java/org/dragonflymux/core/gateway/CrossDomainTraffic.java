package org.dragonflymux.core.gateway;

/** Counts successful answers and bytes by whether requests left the host's failure domain. */
public final class CrossDomainTraffic {

    private Totals totals = Totals.NONE;

    /**
     * Totals of a period.
     *
     * @param stayed requests answered by targets of the host's failure domain
     * @param left requests answered by targets of other failure domains
     * @param leftBytes the bytes of the bodies of the latter and of their answers
     */
    public record Totals(int stayed, int left, long leftBytes) {

        static final Totals NONE = new Totals(0, 0, 0);
    }

    CrossDomainTraffic() {}

    void recordAnswer(boolean leftDomain, long bytes) {
        totals = leftDomain
                ? new Totals(totals.stayed, totals.left + 1, totals.leftBytes + bytes)
                : new Totals(totals.stayed + 1, totals.left, totals.leftBytes);
    }

    /** Returns the totals since the last call. */
    Totals drain() {
        Totals result = totals;
        totals = Totals.NONE;
        return result;
    }
}
