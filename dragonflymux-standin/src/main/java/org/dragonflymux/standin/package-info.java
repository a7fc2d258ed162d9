/** The program dragonfly-standin. */
package org.dragonflymux.standin;
