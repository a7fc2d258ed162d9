package org.dragonflymux.ctl.store;

import com.github.difflib.DiffUtils;
import com.github.difflib.UnifiedDiffUtils;
import java.util.List;

/** Line-by-line differences between two documents. */
public final class TextDiff {

    private static final int CONTEXT_LINES = 2;

    private TextDiff() {}

    /** Returns a unified diff; empty when the texts are equal. */
    public static String of(String before, String after) {
        List<String> oldLines = before.lines().toList();
        List<String> newLines = after.lines().toList();
        return String.join(
                "\n",
                UnifiedDiffUtils.generateUnifiedDiff(
                        "store", "file", oldLines, DiffUtils.diff(oldLines, newLines), CONTEXT_LINES));
    }
}
