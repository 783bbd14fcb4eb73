/** Settings of one node. */
export {parseSettings, SETTINGS_EXAMPLE} from './settings';
export type {NodeSettings} from './settings';
