package appleridge.config.operator;

/**
 * An enum constant that can be a value in an operator's file. The word is separate from the
 * constant's name, so that a constant can be renamed without breaking existing files.
 */
public interface SettingWord {
    /** The constant as the file spells it; unique within its enum. */
    String settingWord();
}
