/** A caller's request on the entry host that received it: credential, rate, owner, retries and outcome. */
package org.dragonflymux.core.ingress;
