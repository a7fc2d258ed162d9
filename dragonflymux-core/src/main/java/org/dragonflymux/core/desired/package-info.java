/** The desired state set by operators: routes, services, and customers with their rate limits. */
package org.dragonflymux.core.desired;
