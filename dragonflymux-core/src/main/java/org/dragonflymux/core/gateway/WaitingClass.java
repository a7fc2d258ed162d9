package org.dragonflymux.core.gateway;

import org.dragonflymux.core.name.ServiceName;

/**
 * The waiting requests of a service that have the same priority class. Class 0 is the most urgent.
 *
 * @param service the service
 * @param priorityClass 0 to {@link #COUNT} - 1
 */
public record WaitingClass(ServiceName service, int priorityClass) {

    /** Number of classes. Bounds the size of reports; lower priorities share the last class. */
    public static final int COUNT = 8;

    public WaitingClass {
        if (priorityClass < 0 || priorityClass >= COUNT) {
            throw new IllegalArgumentException("no priority class: " + priorityClass);
        }
    }

    /** Returns the class of a service's requests with a priority, which may be any integer. */
    public static WaitingClass of(ServiceName service, int priority) {
        return new WaitingClass(service, Math.clamp(priority, 0, COUNT - 1));
    }
}
