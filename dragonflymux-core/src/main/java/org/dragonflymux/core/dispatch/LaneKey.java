package org.dragonflymux.core.dispatch;

import org.dragonflymux.core.name.ServiceName;
import org.dragonflymux.core.name.TargetId;

/** Identifies a lane by its service and target. */
record LaneKey(ServiceName service, TargetId target) {}
