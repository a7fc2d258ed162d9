/** Open-loop request generation and response validation. */
package org.dragonflymux.load.run;
