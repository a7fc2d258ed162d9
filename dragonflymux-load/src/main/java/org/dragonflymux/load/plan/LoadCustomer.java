package org.dragonflymux.load.plan;

/**
 * A customer that sends load.
 *
 * @param name the name of the customer
 * @param credential its credential
 * @param ratePerSecond the mean number of requests per second
 */
public record LoadCustomer(String name, String credential, double ratePerSecond) {

    /** Parses {@code name=credential@rate}. */
    public static LoadCustomer parse(String text) {
        int equals = text.indexOf('=');
        int at = text.lastIndexOf('@');
        if (equals <= 0 || at <= equals) {
            throw new MalformedPlanException("customer", text, "name=credential@rate");
        }
        double rate = Double.parseDouble(text.substring(at + 1));
        return new LoadCustomer(text.substring(0, equals), text.substring(equals + 1, at), rate);
    }

    /** Returns a copy of this customer with another rate. */
    public LoadCustomer withRate(double newRatePerSecond) {
        return new LoadCustomer(name, credential, newRatePerSecond);
    }
}
