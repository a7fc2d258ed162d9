/** The program dragonfly-standin, which simulates a store or a target. */
package org.dragonflymux.standin;
