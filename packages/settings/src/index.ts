/** Settings of one node. */
export {
  parseSettings,
  parseExtendedSettings,
  SETTINGS_EXAMPLE,
} from './settings';
export type {NodeSettings} from './settings';
