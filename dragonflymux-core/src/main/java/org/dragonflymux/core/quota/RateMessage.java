package org.dragonflymux.core.quota;

import java.util.List;
import java.util.Optional;
import org.dragonflymux.core.name.CustomerName;
import org.dragonflymux.core.name.HostId;

/** What borrowers and lenders of tokens say to each other. */
public sealed interface RateMessage {

    /** Returns who says it. */
    HostId from();

    /** Returns who is to have it. */
    HostId to();

    /** Returns which host passes it on, where the two don't reach each other. */
    Optional<HostId> via();

    /**
     * Asks for tokens and tells what became of earlier ones.
     *
     * @param from the borrower
     * @param incarnation its life
     * @param to the lender
     * @param via who passes it on
     * @param demands what is asked, a customer each
     */
    record Ask(HostId from, long incarnation, HostId to, Optional<HostId> via, List<Demand> demands)
            implements RateMessage {}

    /**
     * Lends tokens.
     *
     * @param from the lender
     * @param to the borrower
     * @param via who passes it on
     * @param loans what is lent, a customer each
     */
    record Lend(HostId from, HostId to, Optional<HostId> via, List<Loan> loans) implements RateMessage {}

    /**
     * What a borrower wants of one customer's tokens.
     *
     * @param customer the customer
     * @param epoch the lender's tenure that the totals belong to
     * @param sequence names the question; 0 where no answer is wanted
     * @param needed how many requests wait for a token
     * @param wanted how many tokens are welcome
     * @param used how many tokens of this tenure were used
     * @param returned how many tokens of this tenure were not
     */
    record Demand(CustomerName customer, long epoch, long sequence, int needed, int wanted, long used, long returned) {}

    /**
     * What a lender gives of one customer's tokens.
     *
     * @param customer the customer
     * @param epoch the lender's tenure, 0 where the asked host isn't the lender
     * @param sequence the question
     * @param tokens how many are lent
     * @param millisUntilNextToken after what time the next one is expected
     */
    record Loan(CustomerName customer, long epoch, long sequence, int tokens, long millisUntilNextToken) {}
}
