/** Tables, JSON and plots of what a run measured. */
package org.dragonflymux.load.report;
