/** Slopes of the decision logic's costs over the sizes that it is to reach. */
package org.dragonflymux.load.bench;
