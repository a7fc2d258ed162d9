/** What commands print: tables for people, JSON for machines. */
package org.dragonflymux.ctl.output;
