/** Damaged messages for tests of decoders. */
package org.dragonflymux.gateway.damage;
