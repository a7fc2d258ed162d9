package org.dragonflymux.core.quota;

import org.dragonflymux.core.name.CustomerName;

/**
 * The right to have one request run.
 *
 * @param customer whose request
 * @param epoch the lender's tenure in which it was lent
 */
public record Token(CustomerName customer, long epoch) {}
