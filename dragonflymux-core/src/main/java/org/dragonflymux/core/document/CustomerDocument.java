package org.dragonflymux.core.document;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;
import java.util.Map;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.FailureDomain;

/**
 * A customer's rate limit, weight and credentials.
 *
 * @param name the customer's name
 * @param ratePerSecond the rate limit, in requests per second over all hosts together
 * @param burst the number of requests that may be sent at once after a pause
 * @param weight the customer's share of an overloaded target, relative to the others
 * @param reserves the parts of rate and burst that are reserved for use in a failure domain, by failure domain
 * @param credentials the valid credentials, as hashes
 */
public record CustomerDocument(
        CustomerName name,
        double ratePerSecond,
        int burst,
        int weight,
        Map<FailureDomain, RateReserve> reserves,
        List<CredentialGrant> credentials)
        implements Document {

    /** Replaces absent fields by their defaults. */
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
