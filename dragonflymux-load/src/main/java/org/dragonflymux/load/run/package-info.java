/** Open-loop generation of requests, and checks of the answers. */
package org.dragonflymux.load.run;
