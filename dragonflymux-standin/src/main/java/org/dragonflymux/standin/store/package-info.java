/** An in-memory stand-in for the platform's store: the subset of etcd's v3 JSON gateway that this project uses. */
package org.dragonflymux.standin.store;
