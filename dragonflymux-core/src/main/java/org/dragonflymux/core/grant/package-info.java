/** Fenced, time-bound grants that a dispatcher gives to a target, and the evidence of the target's life. */
package org.dragonflymux.core.grant;
