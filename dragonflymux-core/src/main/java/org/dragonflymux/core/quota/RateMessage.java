package org.dragonflymux.core.quota;

import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;

/** A message between a borrower and a lender of tokens. */
public sealed interface RateMessage {

    /** Returns the host that created the message. */
    HostId from();

    /** Returns the host that the message is for. */
    HostId to();

    /** Returns the host that relays the message, if the two hosts may not reach each other directly. */
    Optional<HostId> via();

    /**
     * Asks for tokens and reports the use of earlier ones.
     *
     * @param from the borrower
     * @param incarnation the borrower's incarnation
     * @param to the lender
     * @param via the relay
     * @param demands the demands, one for each customer
     */
    record Ask(HostId from, long incarnation, HostId to, Optional<HostId> via, List<Demand> demands)
            implements RateMessage {}

    /**
     * Lends tokens.
     *
     * @param from the lender
     * @param to the borrower
     * @param via the relay
     * @param loans the loans, one for each customer
     */
    record Lend(HostId from, HostId to, Optional<HostId> via, List<Loan> loans) implements RateMessage {}

    /**
     * A borrower's demand for one customer's tokens.
     *
     * @param customer the customer
     * @param epoch the lender's epoch that the totals belong to
     * @param sequence the number of the demand, or 0 if no answer is expected
     * @param needed the number of requests that wait for a token
     * @param wanted the number of tokens asked for, including tokens in advance
     * @param used the total of tokens used in this epoch
     * @param returned the total of tokens returned unused in this epoch
     */
    record Demand(CustomerName customer, long epoch, long sequence, int needed, int wanted, long used, long returned) {}

    /**
     * A lender's answer to a demand.
     *
     * @param customer the customer
     * @param epoch the lender's epoch, or 0 if the host that was asked is not the lender
     * @param sequence the number of the demand
     * @param tokens the number of tokens lent
     * @param millisUntilNextToken the expected time until the next token
     */
    record Loan(CustomerName customer, long epoch, long sequence, int tokens, long millisUntilNextToken) {}
}
