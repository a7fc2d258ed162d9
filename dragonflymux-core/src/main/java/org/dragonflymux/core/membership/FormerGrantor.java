package org.dragonflymux.core.membership;

import org.dragonflymux.core.name.HostId;

/**
 * A grantor of an earlier term that may still renew grants, because it may not know that its lease has ended.
 *
 * @param host the host
 * @param incarnation the incarnation of the host that was the grantor
 * @param renewsForMillis for how long it may renew grants, in milliseconds
 */
public record FormerGrantor(HostId host, long incarnation, long renewsForMillis) {}
