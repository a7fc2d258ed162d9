/** Customer credentials and how long they may be trusted without news. */
package org.dragonflymux.core.credential;
