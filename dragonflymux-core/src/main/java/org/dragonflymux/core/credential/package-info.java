/** Look-up of customers by their credentials. */
package org.dragonflymux.core.credential;
