/** The platform's store over the etcd v3 JSON gateway. */
package org.dragonflymux.runtime.store;
