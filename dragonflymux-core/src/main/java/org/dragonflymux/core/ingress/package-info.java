/**
 * Handling of callers' requests by the entry host that receives them: authentication, admission, routing, retries and
 * responses.
 */
package org.dragonflymux.core.ingress;
