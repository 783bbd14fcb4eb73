/** Settings of one node. */
export {parseSettings, parseSettingsWith, SETTINGS_EXAMPLE} from './settings';
export type {NodeSettings} from './settings';
