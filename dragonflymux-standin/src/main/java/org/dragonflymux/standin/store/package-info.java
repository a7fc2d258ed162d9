/** A stand-in for the platform's store: the part of the etcd v3 JSON gateway that the project uses. */
package org.dragonflymux.standin.store;
