export class SettingsError extends Error {}
