/** Set-up shared by the project's Ratpack clients and servers. */
package org.dragonflymux.runtime.http;
