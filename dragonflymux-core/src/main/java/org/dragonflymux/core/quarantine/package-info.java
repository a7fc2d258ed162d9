/** Recognition of requests that crash the targets that run them. */
package org.dragonflymux.core.quarantine;
