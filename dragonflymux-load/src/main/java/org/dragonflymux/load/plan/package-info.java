/** The load to generate: customers, keys, rates and scripted changes. */
package org.dragonflymux.load.plan;
