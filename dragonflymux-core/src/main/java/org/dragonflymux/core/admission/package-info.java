/** Customer rates over the whole fleet: a token bucket with one holder, and shares lent to hosts. */
package org.dragonflymux.core.admission;
