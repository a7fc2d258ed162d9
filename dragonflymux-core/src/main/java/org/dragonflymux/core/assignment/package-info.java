/** Who owns which keys: the assignment table, its planner and the duty of assigning. */
package org.dragonflymux.core.assignment;
