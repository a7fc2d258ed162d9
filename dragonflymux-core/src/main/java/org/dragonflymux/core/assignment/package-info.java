/** Assignment of keys to targets: the routes of a table, its planner, and the role of the assigner. */
package org.dragonflymux.core.assignment;
