/** The documents that operators and entry hosts keep in the platform's store, with their checks and codec. */
package org.dragonflymux.core.document;
