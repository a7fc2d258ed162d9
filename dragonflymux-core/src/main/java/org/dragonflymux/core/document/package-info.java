/**
 * The documents that operators and entry hosts write to the platform's store, with their validation and serialization.
 */
package org.dragonflymux.core.document;
