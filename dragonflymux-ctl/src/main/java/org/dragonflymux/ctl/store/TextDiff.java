package org.dragonflymux.ctl.store;

import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import java.util.List;

/** The difference of two documents, line by line. */
public final class TextDiff {

    private static final int CONTEXT_LINES = 2;

    private TextDiff() {}

    /** Returns a unified diff; empty when the texts are equal. */
    public static String of(String before, String after) {
        List<String> old = before.lines().toList();
        List<String> fresh = after.lines().toList();
        return String.join(
                "\n",
                UnifiedDiffUtils.generateUnifiedDiff("store", "file", old, DiffUtils.diff(old, fresh), CONTEXT_LINES));
    }
}
