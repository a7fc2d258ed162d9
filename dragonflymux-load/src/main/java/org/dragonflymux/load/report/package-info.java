/** Tables, JSON and plots of the results of a run. */
package org.dragonflymux.load.report;
