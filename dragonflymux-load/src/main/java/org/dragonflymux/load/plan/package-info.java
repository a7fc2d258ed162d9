/** What load to make: customers, keys, rates and scripted changes. */
package org.dragonflymux.load.plan;
