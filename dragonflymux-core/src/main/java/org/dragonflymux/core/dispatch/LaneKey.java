package org.dragonflymux.core.dispatch;

import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Names a lane: a target of a service. */
record LaneKey(ServiceName service, TargetId target) {}
