/** A stand-in for a target: slots, a queue, fenced grants and faults. */
package org.dragonflymux.standin.target;
