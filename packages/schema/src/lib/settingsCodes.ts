import { defineCodes } from '@berylwood/base';

/** Result codes of settings files and operator lists (2000 to 2099). @public */
export const settingsCodes = defineCodes({
  fileUnreadable: {
    number: 2000,
    status: 400,
    notRun: true,
    meaning: 'A file can not be read.',
    remedy: 'Check the path and the permissions.',
  },
  settingsInvalid: {
    number: 2001,
    status: 400,
    notRun: true,
    meaning: 'A settings file or list is not valid.',
    remedy: 'Correct the lines that the message names.',
  },
});
