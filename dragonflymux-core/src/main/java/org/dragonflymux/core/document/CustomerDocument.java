package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;

/**
 * A customer's rate, burst, share and credentials.
 *
 * @param name the customer
 * @param ratePerSecond requests a second over all hosts together
 * @param burst requests that may come at once after a pause
 * @param weight the customer's share of an overloaded target, relative to the others
 * @param reserves parts of rate and burst that a failure domain's hosts keep for use there, by failure domain
 * @param credentials the credentials in force, as hashes
 */
public record CustomerDocument(
        CustomerName name,
        double ratePerSecond,
        int burst,
        int weight,
        Map<FailureDomain, RateReserve> reserves,
        List<CredentialGrant> credentials)
        implements Document {

    /** Fills absent fields with their defaults. */
    public CustomerDocument {
        weight = weight == 0 ? 1 : weight;
        reserves = reserves == null ? Map.of() : Map.copyOf(reserves);
        credentials = credentials == null ? List.of() : List.copyOf(credentials);
    }

    @Override
    @JsonIgnore
    public DocumentKey key() {
        return DocumentKey.customer(name);
    }

    /** Returns this customer with other credentials. */
    public CustomerDocument withCredentials(List<CredentialGrant> changed) {
        return new CustomerDocument(name, ratePerSecond, burst, weight, reserves, changed);
    }

    /** Returns this customer with another rate and burst. */
    public CustomerDocument withRate(double changedRatePerSecond, int changedBurst) {
        return new CustomerDocument(name, changedRatePerSecond, changedBurst, weight, reserves, credentials);
    }
}
