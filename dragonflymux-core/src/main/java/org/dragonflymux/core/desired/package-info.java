/** The operators' desired state: which requests exist, where they may go, and what customers may ask. */
package org.dragonflymux.core.desired;
