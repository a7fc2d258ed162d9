/** Measures how the costs of the decision logic scale with the sizes that it must support. */
package org.dragonflymux.load.bench;
