/** A stand-in for a target, with slots, a queue, fencing tokens and fault injection. */
package org.dragonflymux.standin.target;
