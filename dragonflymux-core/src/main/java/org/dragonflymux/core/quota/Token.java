package org.dragonflymux.core.quota;

import org.dragonflymux.core.name.CustomerName;

/**
 * The permission to run one request of a customer.
 *
 * @param customer the customer
 * @param epoch the lender's epoch in which the token was lent
 */
public record Token(CustomerName customer, long epoch) {}
