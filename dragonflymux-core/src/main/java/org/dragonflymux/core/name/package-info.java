/** Typed names of hosts, failure domains, services, customers and targets. */
package org.dragonflymux.core.name;
