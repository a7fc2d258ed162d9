package org.dragonflymux.gateway.http;

import com.google.common.base.Splitter;
import com.google.common.primitives.Longs;
import io.netty.util.internal.PlatformDependent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.dragonflymux.core.caller.CallerLimits;

/** What the process may take of its machine. */
public final class ProcessLimits {

    private static final Path LIMITS = Path.of("/proc/self/limits");
    private static final String OPEN_FILES = "Max open files";
    private static final Splitter COLUMNS = Splitter.on(' ').omitEmptyStrings().trimResults();
    /** Assumed where the limit cannot be read; the usual limit of a process. */
    private static final long DEFAULT_DESCRIPTORS = 1_024;

    private ProcessLimits() {}

    /**
     * Returns the limits on callers that follow from the heap, the memory for direct buffers and the descriptors.
     *
     * @param statedDescriptors the descriptors that the process may open by its settings, 0 if they don't say so
     */
    public static CallerLimits callerLimits(long statedDescriptors) {
        long memory = Math.min(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
        return CallerLimits.of(memory, statedDescriptors > 0 ? statedDescriptors : descriptors());
    }

    private static long descriptors() {
        try {
            return Files.readAllLines(LIMITS).stream()
                    .filter(line -> line.startsWith(OPEN_FILES))
                    .map(line -> COLUMNS.splitToList(line.substring(OPEN_FILES.length())))
                    .map(List::getFirst)
                    .map(Longs::tryParse)
                    .mapToLong(limit -> limit == null ? DEFAULT_DESCRIPTORS : limit)
                    .findFirst()
                    .orElse(DEFAULT_DESCRIPTORS);
        } catch (IOException unreadable) {
            return DEFAULT_DESCRIPTORS;
        }
    }
}
