/** One target's slots, queue, ramp and fair shares. */
package org.dragonflymux.core.dispatch;
